package classifier

// Statement is the analysis of one statement of a text.
type Statement struct {
	// Kind is the kind of the statement.
	Kind Kind
	// Tables are the tables that a read names, qualified by the schema unless it
	// is public.
	Tables []string
	// Setting is the lower-case name of the setting in SET, RESET and SHOW. For
	// DEALLOCATE it is the name of the prepared statement, empty for all.
	Setting string
	// Value is the value in SET if it is a single constant.
	Value string
	// HasValue is set if Value is valid. It is false for SET ... TO DEFAULT,
	// RESET and lists of values.
	// HasValue is false for SET ... TO DEFAULT, RESET and lists.
	HasValue bool
	// Local is set for SET LOCAL.
	Local bool
	// ReadOnly is set for BEGIN and SET TRANSACTION with READ ONLY.
	ReadOnly bool
	// CommitsItself is set for statements that may commit before they end, such as CALL and
	// CREATE INDEX CONCURRENTLY.
	CommitsItself bool
	// Start and End delimit the statement in the text, in bytes.
	Start, End int
}

// Result is the analysis of one query text. It is immutable.
type Result struct {
	// Statements are the statements of the text, in order.
	Statements []Statement
}

// Single returns the statement of a text with exactly one statement, and false
// for other texts.
func (r *Result) Single() (Statement, bool) {
	if len(r.Statements) != 1 {
		return Statement{}, false
	}
	return r.Statements[0], true
}

// ReadOnly reports whether the text has statements and all of them are reads.
func (r *Result) ReadOnly() bool {
	for _, s := range r.Statements {
		if s.Kind != Read {
			return false
		}
	}
	return len(r.Statements) > 0
}

// Has reports whether any statement is of one of the kinds.
func (r *Result) Has(kinds ...Kind) bool {
	for _, s := range r.Statements {
		for _, k := range kinds {
			if s.Kind == k {
				return true
			}
		}
	}
	return false
}

// Tables returns the tables that the reads of the text name.
func (r *Result) Tables() []string {
	if len(r.Statements) == 1 {
		return r.Statements[0].Tables
	}
	var tables []string
	for _, s := range r.Statements {
		tables = append(tables, s.Tables...)
	}
	return tables
}

// size estimates the memory that the result holds, in bytes.
func (r *Result) size() int {
	n := 64
	for _, s := range r.Statements {
		n += 128 + len(s.Setting) + len(s.Value)
		for _, t := range s.Tables {
			n += 16 + len(t)
		}
	}
	return n
}
