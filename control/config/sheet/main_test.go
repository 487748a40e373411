package sheet

import (
	"testing"

	"github.com/lacewingpier/lacewingpier/core/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m) }
