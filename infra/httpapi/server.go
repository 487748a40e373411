package httpapi

import (
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra"
)

// Service holds the implementations that NewHandler serves.
type Service struct {
	Table   infra.Table
	Objects infra.ObjectStore
	Workers infra.Workers
}

// NewHandler serves s over HTTP, so that the stand-ins can replace the platform
// behind the HTTP client that production uses.
func NewHandler(s Service) http.Handler {
	router := httprouter.New()
	s.routeStore(router)
	s.routeWorkers(router)
	return router
}

func (s Service) routeStore(router *httprouter.Router) {
	router.GET("/v1/rows", s.readRows)
	router.POST("/v1/commit", s.commit)
	router.GET("/v1/objects", s.readObjects)
	router.PUT("/v1/objects", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		var body []byte
		if err := decodeBody(r.Body, &body); err != nil {
			writeError(w, err)
			return
		}
		reply(w, struct{}{}, s.Objects.Put(r.Context(), r.URL.Query().Get("key"), body))
	})
	router.DELETE("/v1/objects", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		reply(w, struct{}{}, s.Objects.Delete(r.Context(), r.URL.Query().Get("key")))
	})
}

func (s Service) readRows(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	query := r.URL.Query()
	if query.Has("key") {
		row, err := s.Table.Get(r.Context(), query.Get("key"))
		reply(w, row, err)
		return
	}
	rows, err := s.Table.List(r.Context(), query.Get("prefix"))
	reply(w, rows, err)
}

func (s Service) commit(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var txn infra.Txn
	if err := decodeBody(r.Body, &txn); err != nil {
		writeError(w, err)
		return
	}
	result, err := s.Table.Commit(r.Context(), txn)
	reply(w, result, err)
}

func (s Service) readObjects(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	query := r.URL.Query()
	if query.Has("key") {
		body, err := s.Objects.Get(r.Context(), query.Get("key"))
		reply(w, body, err)
		return
	}
	keys, err := s.Objects.List(r.Context(), query.Get("prefix"))
	reply(w, keys, err)
}

func (s Service) routeWorkers(router *httprouter.Router) {
	router.GET("/v1/workers", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		list, err := s.Workers.Inventory(r.Context(), ident.Zone(r.URL.Query().Get("zone")))
		reply(w, list, err)
	})
	router.POST("/v1/workers/:id/fence", workerHandler(func(r *http.Request, w infra.WorkerInfo, in fenceRequest) (any, error) {
		return s.Workers.Fence(r.Context(), w, in.Fence)
	}))
	router.POST("/v1/workers/:id/prepare", workerHandler(func(r *http.Request, w infra.WorkerInfo, in infra.PrepareRequest) (any, error) {
		return nil, s.Workers.Prepare(r.Context(), w, in)
	}))
	router.POST("/v1/workers/:id/start", workerHandler(func(r *http.Request, w infra.WorkerInfo, in infra.StartRequest) (any, error) {
		return nil, s.Workers.Start(r.Context(), w, in)
	}))
	router.POST("/v1/workers/:id/renew", workerHandler(func(r *http.Request, w infra.WorkerInfo, in infra.RenewRequest) (any, error) {
		return s.Workers.Renew(r.Context(), w, in)
	}))
	router.POST("/v1/workers/:id/checkpoint", workerHandler(func(r *http.Request, w infra.WorkerInfo, in taskRequest) (any, error) {
		name, err := s.Workers.Checkpoint(r.Context(), w, in.Fence, in.Ref)
		return checkpointResponse{name}, err
	}))
	router.POST("/v1/workers/:id/throttle", workerHandler(func(r *http.Request, w infra.WorkerInfo, in taskRequest) (any, error) {
		return nil, s.Workers.Throttle(r.Context(), w, in.Fence, in.Ref, in.Percent)
	}))
	router.POST("/v1/workers/:id/stop", workerHandler(func(r *http.Request, w infra.WorkerInfo, in taskRequest) (any, error) {
		return nil, s.Workers.Stop(r.Context(), w, in.Fence, in.Ref)
	}))
	router.GET("/v1/workers/:id/usage", func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		since, err := time.Parse(time.RFC3339Nano, r.URL.Query().Get("since"))
		if err != nil {
			writeError(w, errkind.Wrap(errkind.InvalidArgument, err, "since"))
			return
		}
		samples, err := s.Workers.Usage(r.Context(), workerFromPath(p), since)
		reply(w, samples, err)
	})
}

func workerFromPath(p httprouter.Params) infra.WorkerInfo {
	return infra.WorkerInfo{ID: ident.Worker(p.ByName("id"))}
}

// workerHandler decodes the body of a worker call, runs fn and writes the
// response.
func workerHandler[In any](fn func(*http.Request, infra.WorkerInfo, In) (any, error)) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		var in In
		if err := decodeBody(r.Body, &in); err != nil {
			writeError(w, err)
			return
		}
		out, err := fn(r, workerFromPath(p), in)
		reply(w, out, err)
	}
}

// reply writes value or err. For an error of kind OutcomeUnknown it aborts the
// connection, because that is how a client of the platform sees a lost response.
func reply(w http.ResponseWriter, value any, err error) {
	if errkind.Is(err, errkind.OutcomeUnknown) {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, value)
}
