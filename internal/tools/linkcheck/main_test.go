package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestUnreadableFilesAreRejected guards against a check that passes although the
// program was not built: the file is missing or not an ELF file.
func TestUnreadableFilesAreRejected(t *testing.T) {
	text := filepath.Join(t.TempDir(), "text")
	require.NoError(t, os.WriteFile(text, []byte("not a program"), 0o600))
	require.ErrorContains(t, check(text), "can't be read")
	require.ErrorContains(t, check(text+".missing"), "can't be read")
}
