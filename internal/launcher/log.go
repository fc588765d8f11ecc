package launcher

import (
	"os"

	"github.com/sirupsen/logrus"
)

func newLogger(s LogSettings) (*logrus.Logger, error) {
	log := logrus.New()
	log.SetOutput(os.Stderr)
	level, err := logrus.ParseLevel(s.Level)
	if err != nil {
		return nil, err
	}
	log.SetLevel(level)
	if s.Format == "json" {
		log.SetFormatter(&logrus.JSONFormatter{})
	} else {
		log.SetFormatter(&logrus.TextFormatter{FullTimestamp: true})
	}
	return log, nil
}
