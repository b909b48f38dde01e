package decider

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail/linker"
)

// sessionDialTimeout bounds how long opening a session may take.
const sessionDialTimeout = time.Second

// Dial opens an agent's session with the entry at the address. If that entry does
// not own the jobs, Dial returns an error and what the entry knows about the owner.
func Dial(ctx context.Context, client *http.Client, address string) (session *linker.Session, owner linker.Owner, err error) {
	ctx, cancel := context.WithTimeout(ctx, sessionDialTimeout)
	defer cancel()
	connection, response, err := websocket.Dial(ctx, "ws://"+address+SessionPath, &websocket.DialOptions{
		HTTPClient: client, CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		if response != nil {
			owner.Address = response.Header.Get(OwnerHeader)
		}
		return nil, owner, errors.Wrap(err, "open session")
	}
	// Entries of an earlier build leave out the header, and the epoch is 0.
	owner.Epoch, _ = strconv.ParseInt(response.Header.Get(EpochHeader), 10, 64)
	session = linker.New(connection)
	session.KeepAlive()
	return session, owner, nil
}
