package classifier

import pg_query "github.com/pganalyze/pg_query_go/v6"

// The C parser encodes its tree by recursion without a depth limit: chains of
// 40,000 left-associative operators overflowed a stack of 8 MB, which ends the
// process. Chains of 20,000 did not.
const (
	// maxChainLength is the maximum number of operators and keywords in one
	// expression, and of joins and set operations in one text.
	maxChainLength = 10_000
	// maxScanBytes is the length up to which the tokens of a text are counted
	// exactly. The list of tokens takes many times the memory of the text.
	maxScanBytes = 2 << 20
)

// isTooComplex reports whether parsing the text could overflow the stack. Texts
// longer than maxScanBytes are judged by mayBeComplex alone.
func isTooComplex(text string) bool {
	if !mayBeComplex(text) {
		return false
	}
	if len(text) > maxScanBytes {
		return true
	}
	scan, err := pg_query.Scan(text)
	if err != nil {
		return false // the parser fails on the same error before it builds a tree
	}
	return hasLongChain(scan.Tokens)
}

// mayBeComplex is a cheap test that is never false for a text with a long chain.
// It counts everything that could be an operator or a keyword, including the
// content of literals and comments.
func mayBeComplex(text string) bool {
	if len(text) < maxChainLength {
		return false
	}
	n, word := 0, false
	for i := range len(text) {
		c := text[i] | 0x20
		letter := c >= 'a' && c <= 'z'
		if (letter && !word) || isOperator(text[i]) {
			n++
		}
		word = letter
	}
	return n > maxChainLength
}

func isOperator(c byte) bool {
	switch c {
	case '+', '-', '*', '/', '<', '>', '=', '~', '!', '@', '#', '%', '^', '&', '|', '`', '?', ':', '[':
		return true
	}
	return false
}

// hasLongChain reports whether a chain is longer than maxChainLength. It counts
// operators and keywords between two commas of the same nesting level, and joins
// and set operations in the whole text.
func hasLongChain(tokens []*pg_query.ScanToken) bool {
	var outer []int
	chain, joinsAndSetOps := 0, 0
	for _, t := range tokens {
		switch t.Token {
		case pg_query.Token_ASCII_40, pg_query.Token_ASCII_91: // ( [
			outer, chain = append(outer, chain), 0
		case pg_query.Token_ASCII_41, pg_query.Token_ASCII_93: // ) ]
			if n := len(outer); n > 0 {
				outer, chain = outer[:n-1], outer[n-1]
			}
			chain++
		case pg_query.Token_ASCII_44, pg_query.Token_ASCII_59: // , ;
			chain = 0
		case pg_query.Token_UNION, pg_query.Token_INTERSECT, pg_query.Token_EXCEPT, pg_query.Token_JOIN:
			joinsAndSetOps++
		case pg_query.Token_ICONST, pg_query.Token_FCONST, pg_query.Token_SCONST, pg_query.Token_IDENT:
		default:
			chain++
		}
		if chain > maxChainLength || joinsAndSetOps > maxChainLength {
			return true
		}
	}
	return false
}
