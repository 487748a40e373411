package adminapi

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/lacewingpier/lacewingpier/control/config/sheet"
	"github.com/lacewingpier/lacewingpier/core/errkind"
)

func unmarshalStrict(raw []byte, target any) error {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	err := dec.Decode(target)
	if err == nil {
		if _, trailing := dec.Token(); !errors.Is(trailing, io.EOF) {
			err = errTrailing
		}
	}
	return errkind.Wrap(errkind.InvalidArgument, err, "decode the request body")
}

// maxKeyLength bounds the length of an idempotency key in bytes.
const maxKeyLength = 63

// fillAndCheck sets the workspace and caller of a submitted job from its sender,
// sets the default locality and checks the job.
func (s *JobSpec) fillAndCheck(actor Actor, current *sheet.Sheet) error {
	if actor.Role != sheet.RoleOperator {
		if s.Workspace != "" && s.Workspace != actor.Workspace {
			return errkind.New(errkind.PermissionDenied, "the key belongs to another workspace than %q", s.Workspace)
		}
		s.Workspace, s.Caller = actor.Workspace, actor.Caller
	}
	if s.Caller == "" {
		s.Caller = actor.Caller
	}
	if s.Locality == "" {
		s.Locality = "partition"
	}
	return s.check(current)
}

func (s *JobSpec) check(current *sheet.Sheet) error {
	var problems []string
	require := func(ok bool, message string) {
		if !ok {
			problems = append(problems, message)
		}
	}
	_, localityOK := sheet.ParseLocality(s.Locality)
	_, workspaceOK := current.Workspace(s.Workspace)
	require(s.Key == "" || validKey(s.Key), "key: must have at most 63 characters of a-z, A-Z, 0-9, - and _")
	require(workspaceOK, "workspace: is unknown")
	require(s.Service != "", "service: is missing")
	require(s.Tasks >= 1 && s.Tasks <= sheet.MaxTasks, "tasks: must be between 1 and 64")
	require(s.PerTask.Accelerators >= 0 && s.PerTask.Cores >= 0 && s.PerTask.MemoryMB >= 0, "per_task: must not be negative")
	require(s.PerTask.Accelerators > 0 || s.PerTask.Cores > 0, "per_task: needs accelerators or cores")
	require(localityOK, "locality: must be worker, rack or partition")
	require(s.RunTimeMS >= 0, "run_time_ms: must not be negative")
	if s.Shape != "" && workspaceOK {
		_, shapeOK := current.Shape(s.Workspace, s.Shape)
		require(shapeOK, "shape: the workspace has no such guarantee")
	}
	if len(problems) > 0 {
		return errkind.New(errkind.InvalidArgument, "job: %s", strings.Join(problems, "; "))
	}
	return nil
}

func validKey(key string) bool {
	if len(key) > maxKeyLength {
		return false
	}
	for _, c := range []byte(key) {
		if (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && c != '-' && c != '_' {
			return false
		}
	}
	return true
}
