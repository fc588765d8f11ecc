package pooler

import (
	"sync"

	"github.com/xdg-go/scram"
)

// maxScramClients is above the number of different credentials of the groups
// that one cluster serves. A full cache is emptied.
const maxScramClients = 64

// scramCache keeps SCRAM clients. A client stores the salted password, whose
// derivation takes milliseconds of CPU.
type scramCache struct {
	mu      sync.Mutex
	clients map[[2]string]*scram.Client
}

func (c *scramCache) client(user, password string) (*scram.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := [2]string{user, password}
	if client, ok := c.clients[key]; ok {
		return client, nil
	}
	client, err := scram.SHA256.NewClient(user, password, "")
	if err != nil {
		return nil, err
	}
	if c.clients == nil || len(c.clients) >= maxScramClients {
		c.clients = make(map[[2]string]*scram.Client)
	}
	c.clients[key] = client
	return client, nil
}
