package decider

import (
	"context"
	"net/http"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail/linker"
)

// sessionDialTimeout bounds the time to open a session.
const sessionDialTimeout = time.Second

// Dial opens a session with the entry at an address. If that entry does not own
// the jobs, Dial returns an error and the owner's address, if the entry knows
// it.
func Dial(ctx context.Context, client *http.Client, address string) (session *linker.Session, owner string, err error) {
	ctx, cancel := context.WithTimeout(ctx, sessionDialTimeout)
	defer cancel()
	connection, answer, err := websocket.Dial(ctx, "ws://"+address+SessionPath, &websocket.DialOptions{
		HTTPClient: client, CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		if answer != nil {
			owner = answer.Header.Get(OwnerHeader)
		}
		return nil, owner, errors.Wrap(err, "open session")
	}
	return linker.New(connection), "", nil
}
