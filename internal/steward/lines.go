package steward

import (
	"fmt"
	"io"
	"strings"
)

// contextLines is the number of unchanged lines around a change.
const contextLines = 2

// diffLine is one line of a diff: ' ' unchanged, '-' removed, '+' added.
type diffLine struct {
	mark byte
	text string
}

// diffLines returns the line diff of both texts along a longest common
// subsequence.
func diffLines(before, after string) []diffLine {
	a, b := splitLines(before), splitLines(after)
	common := suffixLCSLengths(a, b)
	var lines []diffLine
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		switch {
		case i < len(a) && j < len(b) && a[i] == b[j]:
			lines = append(lines, diffLine{' ', a[i]})
			i, j = i+1, j+1
		case j == len(b) || i < len(a) && common[i+1][j] >= common[i][j+1]:
			lines = append(lines, diffLine{'-', a[i]})
			i++
		default:
			lines = append(lines, diffLine{'+', b[j]})
			j++
		}
	}
	return lines
}

// suffixLCSLengths returns for each pair of suffixes the length of their longest
// common subsequence.
func suffixLCSLengths(a, b []string) [][]int32 {
	table := make([][]int32, len(a)+1)
	for i := range table {
		table[i] = make([]int32, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				table[i][j] = table[i+1][j+1] + 1
			} else {
				table[i][j] = max(table[i+1][j], table[i][j+1])
			}
		}
	}
	return table
}

func splitLines(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(strings.TrimSuffix(s, "\n"), "\n")
}

// writeDiff writes the changed lines with some context and returns whether there
// are any.
func writeDiff(w io.Writer, before, after string) bool {
	lines := diffLines(before, after)
	shown := make([]bool, len(lines))
	changed := false
	for i, l := range lines {
		if l.mark == ' ' {
			continue
		}
		changed = true
		for k := max(i-contextLines, 0); k <= min(i+contextLines, len(lines)-1); k++ {
			shown[k] = true
		}
	}
	for i, l := range lines {
		if shown[i] {
			fmt.Fprintf(w, "%c %s\n", l.mark, replaceControls(l.text))
		} else if i > 0 && shown[i-1] {
			fmt.Fprintln(w, "  ...")
		}
	}
	return changed
}

// replaceControls replaces control and text direction characters, which could
// hide in the terminal what is being approved.
func replaceControls(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' && r != '\t' || r >= 0x7f && r < 0xa0 || r >= 0x202a && r <= 0x202e || r >= 0x2066 && r <= 0x2069 {
			return '\ufffd'
		}
		return r
	}, s)
}
