package checker

// Document is a manifest part with its source, from which findings get their
// positions.
type Document struct {
	Manifest
	File string
	Data []byte
}

// CheckDocument checks a manifest part and keeps its source.
func CheckDocument(file string, data []byte) (Document, Findings) {
	m, findings := CheckManifest(file, data)
	return Document{Manifest: m, File: file, Data: data}, findings
}
