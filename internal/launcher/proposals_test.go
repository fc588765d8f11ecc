package launcher

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"marigoldhub.example/hub/internal/approver"
	"marigoldhub.example/hub/internal/recorder"
	"marigoldhub.example/hub/internal/reporter"
	"marigoldhub.example/hub/internal/storer"
	"marigoldhub.example/hub/standin/platform"
)

// apiFixture is an administration API over a stand-in of the store, with the
// keys of both co-owners.
type apiFixture struct {
	t       *testing.T
	url     string
	signers map[string]approver.Signer
}

func newAPIFixture(t *testing.T) *apiFixture {
	t.Helper()
	store, err := platform.Start(platform.Config{Listen: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { store.Close() })
	fx := &apiFixture{t: t, signers: map[string]approver.Signer{}}
	var owners []approver.Owner
	for _, name := range []string{"registrar", "steward"} {
		signer, err := approver.GenerateSigner()
		if err != nil {
			t.Fatal(err)
		}
		fx.signers[name] = signer
		owners = append(owners, approver.Owner{Name: name, Keys: []approver.OwnerKey{signer.Key()}})
	}
	proposals, err := approver.NewProposals(approver.Config{
		Store: storer.NewEtcdClient(storer.Config{Endpoints: []string{"http://" + store.Addr()}}), Genesis: owners,
	})
	if err != nil {
		t.Fatal(err)
	}
	fx.acceptOwners(proposals, owners)
	fx.serve(proposalHandler{proposals})
	return fx
}

func (fx *apiFixture) acceptOwners(p *approver.Proposals, owners []approver.Owner) {
	ctx := context.Background()
	if _, _, err := p.Propose(ctx, "owners", []byte(approver.FormatOwners(owners))); err != nil {
		fx.t.Fatal(err)
	}
	for _, signer := range fx.signers {
		review, err := p.Review(ctx, "owners")
		if err != nil {
			fx.t.Fatal(err)
		}
		if _, err := p.Approve(ctx, review, signer); err != nil {
			fx.t.Fatal(err)
		}
	}
}

func (fx *apiFixture) serve(h reporter.ProposalHandler) {
	admin, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fx.t.Fatal(err)
	}
	health, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fx.t.Fatal(err)
	}
	r := reporter.New(reporter.Config{
		Admin: admin, Health: health, Proposals: h, Metrics: metrics.NewRegistry(), Log: logrus.StandardLogger(),
		Status: func() reporter.Status { return reporter.Status{} },
		Events: func() []recorder.Event { return nil },
	})
	fx.t.Cleanup(func() { _ = r.Close(context.Background()) })
	fx.url = "http://" + admin.Addr().String() + "/v1/proposals"
}

func (fx *apiFixture) call(method, path string, body []byte) (int, []byte) {
	fx.t.Helper()
	req, err := http.NewRequest(method, fx.url+path, bytes.NewReader(body))
	if err != nil {
		fx.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		fx.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		fx.t.Fatal(err)
	}
	return resp.StatusCode, data
}

// approval signs an envelope as the owner and returns the request body.
func (fx *apiFixture) approval(envelope []byte, signer, owner string) []byte {
	fx.t.Helper()
	e, err := approver.Decode(envelope)
	if err != nil {
		fx.t.Fatal(err)
	}
	a := fx.signers[signer].Approve(e, owner)
	body, err := json.Marshal(approver.SignedApproval{KeyID: a.KeyID, Signature: a.Signature})
	if err != nil {
		fx.t.Fatal(err)
	}
	return body
}

// Guards against an administration API that accepts what marigoldctl would
// refuse: a forged signature, or two approvals by the same co-owner.
func TestProposalsThroughAPI(t *testing.T) {
	fx := newAPIFixture(t)
	manifest, err := os.ReadFile("../../docs/examples/council-unit.toml")
	if err != nil {
		t.Fatal(err)
	}
	if code, body := fx.call("POST", "", []byte("part = 'x'\nunknown = 1\n")); code != http.StatusConflict {
		t.Errorf("faulty manifest: status %d, %s", code, body)
	}
	code, envelope := fx.call("POST", "", manifest)
	if code != http.StatusOK {
		t.Fatalf("propose: status %d, %s", code, envelope)
	}
	e, err := approver.Decode(envelope)
	if err != nil {
		t.Fatal(err)
	}
	path := "/" + e.Part + "/approvals"
	steps := []struct {
		name          string
		signer, owner string
		change        func(body []byte) []byte
		want          int
	}{
		{"signature for another owner's name", "registrar", "steward", nil, http.StatusConflict},
		{"garbage", "registrar", "registrar", func([]byte) []byte { return []byte("{}") }, http.StatusConflict},
		{"first co-owner", "registrar", "registrar", nil, http.StatusOK},
		{"first co-owner again", "registrar", "registrar", nil, http.StatusOK},
	}
	for _, s := range steps {
		body := fx.approval(envelope, s.signer, s.owner)
		if s.change != nil {
			body = s.change(body)
		}
		if code, answer := fx.call("POST", path, body); code != s.want {
			t.Errorf("%s: status %d, want %d: %s", s.name, code, s.want, answer)
		}
	}
	if code, body := fx.call("GET", "/"+e.Part, nil); code != http.StatusOK {
		t.Fatalf("one approval of two: the proposal is gone: status %d, %s", code, body)
	}
	if code, body := fx.call("POST", path, fx.approval(envelope, "steward", "steward")); code != http.StatusOK {
		t.Fatalf("second co-owner: status %d, %s", code, body)
	}
	if code, _ := fx.call("GET", "/"+e.Part, nil); code != http.StatusConflict {
		t.Errorf("accepted proposal is still open: status %d", code)
	}
	if code, body := fx.call("DELETE", "/"+e.Part, nil); code != http.StatusConflict {
		t.Errorf("withdraw without a proposal: status %d, %s", code, body)
	}
}
