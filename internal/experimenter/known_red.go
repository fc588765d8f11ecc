package experimenter

import (
	"bufio"
	"os"
	"strings"
)

// readKnownRed returns the cells that KNOWN-RED.txt names: lines that begin
// with "matrix " followed by the cell's name. A missing file names none.
func readKnownRed(file string) (map[string]bool, error) {
	known := map[string]bool{}
	f, err := os.Open(file)
	if os.IsNotExist(err) {
		return known, nil
	}
	if err != nil {
		return nil, err
	}
	defer f.Close()
	scanner := bufio.NewScanner(f)
	for scanner.Scan() {
		fields := strings.Fields(scanner.Text())
		if len(fields) >= 2 && fields[0] == "matrix" {
			known[fields[1]] = true
		}
	}
	return known, scanner.Err()
}
