package decider

import (
	"context"
	"net/http"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail/linker"
)

// sessionDialLimit bounds the opening of a session.
const sessionDialLimit = time.Second

// Dial opens a session with the entry at an address. An entry that does not own
// the jobs names the owner's address, if it knows one.
func Dial(ctx context.Context, client *http.Client, address string) (session *linker.Session, owner string, err error) {
	ctx, cancel := context.WithTimeout(ctx, sessionDialLimit)
	defer cancel()
	connection, answer, err := websocket.Dial(ctx, "ws://"+address+SessionPath, &websocket.DialOptions{
		HTTPClient: client, CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		if answer != nil {
			owner = answer.Header.Get(OwnerHeader)
		}
		return nil, owner, errors.Wrap(err, "open a session")
	}
	return linker.New(connection), "", nil
}
