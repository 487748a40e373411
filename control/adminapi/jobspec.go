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
		if _, end := dec.Token(); !errors.Is(end, io.EOF) {
			err = errTrailing
		}
	}
	return errkind.Wrap(errkind.InvalidArgument, err, "decode the request body")
}

// maxKey bounds the length of a key.
const maxKey = 63

// complete fills a submitted job from the key of its sender and checks it.
func (s *JobSpec) complete(by Actor, known *sheet.Sheet) error {
	if by.Role != sheet.RoleOperator {
		if s.Workspace != "" && s.Workspace != by.Workspace {
			return errkind.New(errkind.PermissionDenied, "the key belongs to another workspace than %q", s.Workspace)
		}
		s.Workspace, s.Caller = by.Workspace, by.Caller
	}
	if s.Caller == "" {
		s.Caller = by.Caller
	}
	if s.Locality == "" {
		s.Locality = "partition"
	}
	return s.check(known)
}

func (s *JobSpec) check(known *sheet.Sheet) error {
	var problems []string
	require := func(ok bool, message string) {
		if !ok {
			problems = append(problems, message)
		}
	}
	_, localityOK := sheet.ParseLocality(s.Locality)
	_, workspaceOK := known.Workspace(s.Workspace)
	require(s.Key == "" || validKey(s.Key), "key: must have at most 63 characters of a-z, A-Z, 0-9, - and _")
	require(workspaceOK, "workspace: is unknown")
	require(s.Service != "", "service: is missing")
	require(s.Tasks >= 1 && s.Tasks <= sheet.MaxTasks, "tasks: must be between 1 and 64")
	require(s.PerTask.Accelerators >= 0 && s.PerTask.Cores >= 0 && s.PerTask.MemoryMB >= 0, "per_task: must not be negative")
	require(s.PerTask.Accelerators > 0 || s.PerTask.Cores > 0, "per_task: needs accelerators or cores")
	require(localityOK, "locality: must be worker, rack or partition")
	require(s.RunTimeMS >= 0, "run_time_ms: must not be negative")
	if s.Shape != "" && workspaceOK {
		_, shapeOK := known.Shape(s.Workspace, s.Shape)
		require(shapeOK, "shape: the workspace has no such guarantee")
	}
	if len(problems) > 0 {
		return errkind.New(errkind.InvalidArgument, "job: %s", strings.Join(problems, "; "))
	}
	return nil
}

func validKey(key string) bool {
	if len(key) > maxKey {
		return false
	}
	for _, c := range []byte(key) {
		if (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && c != '-' && c != '_' {
			return false
		}
	}
	return true
}
