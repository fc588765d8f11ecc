package reporter

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
)

// maxProposalBytes is the largest accepted request body; it equals the size
// limit of a store value.
const maxProposalBytes = 1 << 20

// ProposalHandler carries out the proposal operations of the operators' tool.
// Approvals are signed by the caller; the handler holds no key.
type ProposalHandler interface {
	// Propose stores manifest content as the open proposal of its part and
	// returns the unsigned envelope.
	Propose(ctx context.Context, content []byte) ([]byte, error)
	// Approve adds a signed approval to the open proposal of a part and
	// returns the envelope.
	Approve(ctx context.Context, part string, approval []byte) ([]byte, error)
	// Withdraw ends the open proposal of a part.
	Withdraw(ctx context.Context, part string) error
	// Open returns the open proposal of a part.
	Open(ctx context.Context, part string) ([]byte, error)
}

func (r *Reporter) propose(w http.ResponseWriter, req *http.Request) {
	body, ok := readBody(w, req)
	if !ok {
		return
	}
	envelope, err := r.cfg.Proposals.Propose(req.Context(), body)
	writeResult(w, envelope, err)
}

func (r *Reporter) approve(w http.ResponseWriter, req *http.Request) {
	body, ok := readBody(w, req)
	if !ok {
		return
	}
	envelope, err := r.cfg.Proposals.Approve(req.Context(), req.PathValue("part"), body)
	writeResult(w, envelope, err)
}

func (r *Reporter) withdraw(w http.ResponseWriter, req *http.Request) {
	writeResult(w, []byte("{}"), r.cfg.Proposals.Withdraw(req.Context(), req.PathValue("part")))
}

func (r *Reporter) openProposal(w http.ResponseWriter, req *http.Request) {
	envelope, err := r.cfg.Proposals.Open(req.Context(), req.PathValue("part"))
	writeResult(w, envelope, err)
}

func readBody(w http.ResponseWriter, req *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxProposalBytes))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, err)
		return nil, false
	}
	return body, true
}

func writeResult(w http.ResponseWriter, body []byte, err error) {
	if err != nil {
		writeError(w, http.StatusConflict, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

func writeError(w http.ResponseWriter, code int, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(map[string]string{"error": err.Error()})
}
