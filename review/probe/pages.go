package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
)

// The store answers a read with at most maxReadBytes of records, unless the call names another size, and lists at most
// maxItems records or maxPageBytes on a page.
const (
	maxReadKB    = 1024
	maxItems     = 500
	maxPageBytes = 1 << 20
	headerBytes  = 16
	lengthBytes  = 4
)

// newestItem is a record in a list of the newest records.
type newestItem struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int64  `json:"offset"`
}

// newestList is a page of the newest records.
type newestList struct {
	Items []newestItem `json:"items"`
	More  bool         `json:"hasMore"`
	End   int64        `json:"endOffset"`
}

// pageStore serves the calls of the store, and divides its long answers into pages as the platform's store does.
func (f *fleet) pageStore(w http.ResponseWriter, req *http.Request) {
	switch req.URL.Path {
	case "/log-read", "/log-newest":
	default:
		f.store.ServeHTTP(w, req)
		return
	}
	whole := httptest.NewRecorder()
	f.store.ServeHTTP(whole, req)
	raw := whole.Body.Bytes()
	if whole.Code == http.StatusOK {
		if req.URL.Path == "/log-read" {
			raw = firstRecords(raw, req.URL.Query().Get("maxKb"))
		} else {
			raw = newestPage(raw, req.URL.Query().Get("dependsOn"))
		}
	}
	w.WriteHeader(whole.Code)
	_, _ = w.Write(raw)
}

// firstRecords returns the answer to a read up to its largest size, and one record at least.
func firstRecords(raw []byte, maxKB string) []byte {
	kilobytes, err := strconv.Atoi(maxKB)
	if err != nil {
		kilobytes = maxReadKB
	}
	end := headerBytes
	for end+lengthBytes <= len(raw) {
		next := end + lengthBytes + int(binary.BigEndian.Uint32(raw[end:]))
		if next-headerBytes > kilobytes<<10 && end > headerBytes {
			break
		}
		end = next
	}
	return raw[:min(end, len(raw))]
}

// newestPage returns the page of the newest records that follows a key.
func newestPage(raw []byte, after string) []byte {
	var list newestList
	if json.Unmarshal(raw, &list) != nil {
		return raw
	}
	first := slices.IndexFunc(list.Items, func(i newestItem) bool { return i.Key > after })
	if first < 0 {
		first = len(list.Items)
	}
	page := newestList{Items: []newestItem{}, End: list.End}
	size := 0
	for _, item := range list.Items[first:] {
		if size += len(item.Key) + len(item.Value); len(page.Items) == maxItems || len(page.Items) > 0 && size > maxPageBytes {
			page.More = true
			break
		}
		page.Items = append(page.Items, item)
	}
	var out bytes.Buffer
	_ = json.NewEncoder(&out).Encode(page)
	return out.Bytes()
}
