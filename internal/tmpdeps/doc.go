// Package tmpdeps keeps module requirements in go.mod while packages are being written.
package tmpdeps
