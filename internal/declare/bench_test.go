package declare

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// largeDeclarations returns declarations of the given number of accounts, each
// with two services that have five upstreams in total.
func largeDeclarations(accounts int) []File {
	files := []File{
		{Path: TemplatePath, Data: []byte("[service]\nslots = 2\ndata-port = 7500\nhealth-port = 7501\n[host]\ndata-port = 7400\ncontrol-port = 7401\n")},
		{Path: ZonesDir + "/z1.ini", Data: []byte("[hosts]\nh1 = 127.0.1.1\n")},
	}
	for a := range accounts {
		var b strings.Builder
		fmt.Fprintf(&b, "[account]\nzones = z1\n")
		for s := range 2 {
			fmt.Fprintf(&b, "[service s%d]\naddress = 10.%d.%d.%d:7300\n[upstreams s%d z1]\n", s, s, a>>8, a&255, s)
			for u := range 2 + s {
				fmt.Fprintf(&b, "u%d-%d = 11.%d.%d.%d\n", s, u, 4*s+u, a>>8, a&255)
			}
		}
		files = append(files, File{Path: fmt.Sprintf("%s/a%d.ini", AccountsDir, a), Data: []byte(b.String())})
	}
	return files
}

// BenchmarkParse parses the declarations of 18,000 accounts with 36,000 services
// and 90,000 upstreams.
func BenchmarkParse(b *testing.B) {
	files := largeDeclarations(18_000)
	b.ReportAllocs()
	for b.Loop() {
		_, problems := Parse(files)
		require.NoError(b, problems.Err())
	}
}
