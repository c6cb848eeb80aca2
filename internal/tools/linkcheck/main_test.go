package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestUnreadableFilesAreRejected(t *testing.T) {
	text := filepath.Join(t.TempDir(), "text")
	require.NoError(t, os.WriteFile(text, []byte("not a program"), 0o600))
	require.ErrorContains(t, check(text), "can't be read")
	require.ErrorContains(t, check(text+".missing"), "can't be read")
}
