package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/store"
	"jujubestile.example/jujubestile/internal/store/etcd"
)

// maxKVRequestBytes bounds a request: the largest value in base64 and its
// envelope.
const maxKVRequestBytes = 2 << 20

// Handler serves the store in the JSON form of the etcd v3 API, as far as the
// client in store/etcd uses it.
func (k *KV) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post(etcd.PathRange, handleKV(k.serveRange))
	r.Post(etcd.PathTxn, handleKV(k.serveTxn))
	r.Post(etcd.PathGrant, handleKV(k.serveGrant))
	r.Post(etcd.PathKeepAlive, handleKV(k.serveKeepAlive))
	r.Post(etcd.PathRevoke, handleKV(k.serveRevoke))
	r.Post(etcd.PathWatch, k.serveWatch)
	return r
}

func handleKV[Req, Resp any](f func(context.Context, Req) (Resp, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var req Req
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxKVRequestBytes)).Decode(&req); err != nil {
			writeKVError(w, http.StatusBadRequest, err)
			return
		}
		resp, err := f(r.Context(), req)
		if err != nil {
			writeKVError(w, kvStatus(err), err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(resp)
	}
}

func kvStatus(err error) int {
	switch {
	case errors.Is(err, store.ErrLeaseExpired):
		return http.StatusNotFound
	case errors.Is(err, store.ErrTooLarge):
		return http.StatusBadRequest
	default:
		return http.StatusServiceUnavailable
	}
}

func writeKVError(w http.ResponseWriter, status int, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]string{"message": err.Error()})
}

func (k *KV) serveRange(ctx context.Context, req etcd.RangeRequest) (etcd.RangeResponse, error) {
	if len(req.RangeEnd) > 0 {
		kvs, err := k.List(ctx, string(req.Key))
		return rangeResponse(kvs), err
	}
	kv, err := k.Get(ctx, string(req.Key))
	if errors.Is(err, store.ErrNotFound) {
		return etcd.RangeResponse{}, nil
	}
	return rangeResponse([]store.KeyValue{kv}), err
}

func rangeResponse(kvs []store.KeyValue) etcd.RangeResponse {
	var resp etcd.RangeResponse
	for _, kv := range kvs {
		if kv.Revision != store.Absent {
			resp.KVs = append(resp.KVs, toWire(kv))
		}
	}
	return resp
}

func toWire(kv store.KeyValue) etcd.KeyValue {
	return etcd.KeyValue{Key: []byte(kv.Key), Value: kv.Value, ModRevision: etcd.Int64(kv.Revision)}
}

func (k *KV) serveTxn(ctx context.Context, req etcd.TxnRequest) (etcd.TxnResponse, error) {
	if len(req.Compare) != 1 || len(req.Success) == 0 {
		return etcd.TxnResponse{}, errors.NotSupportedf("transaction")
	}
	var value []byte
	var id store.LeaseID
	if p := req.Success[0].Put; p != nil {
		value = append([]byte{}, p.Value...)
		id = store.LeaseID(p.Lease)
	}
	c := req.Compare[0]
	res, err := k.CompareAndSwap(ctx, string(c.Key), store.Revision(c.ModRevision), value, id)
	if err != nil {
		return etcd.TxnResponse{}, err
	}
	current := rangeResponse([]store.KeyValue{res.Current})
	return etcd.TxnResponse{Succeeded: res.Swapped, Responses: []etcd.ResponseOp{{Range: &current}}}, nil
}

func (k *KV) serveGrant(ctx context.Context, req etcd.LeaseRequest) (etcd.LeaseResponse, error) {
	id, err := k.Grant(ctx, time.Duration(req.TTL)*time.Second)
	return etcd.LeaseResponse{ID: etcd.Int64(id), TTL: req.TTL}, err
}

func (k *KV) serveKeepAlive(ctx context.Context, req etcd.LeaseRequest) (etcd.KeepAliveMessage, error) {
	err := k.KeepAlive(ctx, store.LeaseID(req.ID))
	if errors.Is(err, store.ErrLeaseExpired) {
		return etcd.KeepAliveMessage{}, nil
	}
	return etcd.KeepAliveMessage{Result: etcd.LeaseResponse{ID: req.ID, TTL: 1}}, err
}

func (k *KV) serveRevoke(ctx context.Context, req etcd.LeaseRequest) (struct{}, error) {
	return struct{}{}, k.Revoke(ctx, store.LeaseID(req.ID))
}

// serveWatch sends the created message at once, because clients wait for the
// response header, and each later state of the key.
func (k *KV) serveWatch(w http.ResponseWriter, r *http.Request) {
	var req etcd.WatchRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxKVRequestBytes)).Decode(&req); err != nil {
		writeKVError(w, http.StatusBadRequest, err)
		return
	}
	enc := json.NewEncoder(w)
	if k.sendWatch(w, enc, etcd.WatchResponse{Created: true}) != nil {
		return
	}
	after := store.Revision(req.Create.StartRevision) - 1
	for {
		kv, err := k.Watch(r.Context(), string(req.Create.Key), after)
		if err != nil {
			_ = k.sendWatch(w, enc, etcd.WatchResponse{Canceled: true})
			return
		}
		after = kv.Revision
		if k.sendWatch(w, enc, etcd.WatchResponse{Events: []etcd.Event{{KV: toWire(kv)}}}) != nil {
			return
		}
	}
}

func (k *KV) sendWatch(w http.ResponseWriter, enc *json.Encoder, m etcd.WatchResponse) error {
	if err := enc.Encode(etcd.WatchMessage{Result: m}); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}
