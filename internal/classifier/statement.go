package classifier

// Statement is one statement of a text.
type Statement struct {
	Kind Kind
	// Tables are the tables named by a read, with the schema unless it is
	// public.
	Tables []string
	// Setting is the lower-case name of the setting of SET, RESET and SHOW, or
	// the name of a deallocated statement (empty for all).
	Setting string
	// Value is the value of SET when it is a single constant.
	Value string
	// HasValue is false for SET ... TO DEFAULT, RESET and lists.
	HasValue bool
	// Local is set for SET LOCAL.
	Local bool
	// ReadOnly is set for BEGIN and SET TRANSACTION with READ ONLY.
	ReadOnly bool
	// Procedure is set for CALL and DO, which may commit several times.
	Procedure bool
	// Start and End are the byte range of the statement in the text.
	Start, End int
}

// Result is the analysis of one query text.
type Result struct {
	Statements []Statement
}

// Single returns the only statement of the text.
func (r *Result) Single() (Statement, bool) {
	if len(r.Statements) != 1 {
		return Statement{}, false
	}
	return r.Statements[0], true
}

// ReadOnly reports whether there is a statement and all are proved reads.
func (r *Result) ReadOnly() bool {
	for _, s := range r.Statements {
		if s.Kind != Read {
			return false
		}
	}
	return len(r.Statements) > 0
}

// Has reports whether a statement has one of the kinds.
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

// Tables returns the tables that the statements name.
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
