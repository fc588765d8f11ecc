package measurer

import (
	"context"
	"net"

	"github.com/jackc/pgx/v5"

	"marigoldhub.example/hub/internal/deployer"
)

// connect opens a connection to an instance or a backend server from the given
// source IP, or from any.
func connect(ctx context.Context, address, group, sourceIP string) (*pgx.Conn, error) {
	cfg, err := pgx.ParseConfig("postgres://" + address + "/" + group + "?sslmode=disable")
	if err != nil {
		return nil, err
	}
	cfg.User, cfg.Password = deployer.CallerName, deployer.CallerPassword
	cfg.ConnectTimeout = connectTimeout
	dialer := &net.Dialer{Timeout: connectTimeout}
	if sourceIP != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(sourceIP)}
	}
	cfg.DialFunc = dialer.DialContext
	return pgx.ConnectConfig(ctx, cfg)
}
