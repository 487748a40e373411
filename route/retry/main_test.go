package retry_test

import (
	"testing"

	"github.com/lacewingpier/lacewingpier/route/internal/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m) }
