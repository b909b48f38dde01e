package decider

import (
	"context"
	"net/http"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail/linker"
)

// sessionDialTimeout bounds how long opening a session may take.
const sessionDialTimeout = time.Second

// Dial opens an agent's session with the entry at the address. If that entry does
// not own the jobs, Dial returns an error and the owner's address, or an empty one
// if the entry does not know the owner.
func Dial(ctx context.Context, client *http.Client, address string) (session *linker.Session, owner string, err error) {
	ctx, cancel := context.WithTimeout(ctx, sessionDialTimeout)
	defer cancel()
	connection, response, err := websocket.Dial(ctx, "ws://"+address+SessionPath, &websocket.DialOptions{
		HTTPClient: client, CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		if response != nil {
			owner = response.Header.Get(OwnerHeader)
		}
		return nil, owner, errors.Wrap(err, "open session")
	}
	session = linker.New(connection)
	session.KeepAlive()
	return session, "", nil
}
