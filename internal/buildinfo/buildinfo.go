// Package buildinfo reports the version of the running program.
package buildinfo

import "runtime/debug"

// Version returns the name of the program followed by its version: the version
// of the module if it has one, else the VCS revision, else "development". A
// binary without build information has the version "unknown".
func Version(program string) string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return program + " unknown"
	}
	return program + " " + versionOf(info)
}

// revisionLength is the number of hexadecimal digits shown of a VCS revision.
const revisionLength = 12

func versionOf(info *debug.BuildInfo) string {
	if v := info.Main.Version; v != "" && v != "(devel)" {
		return v
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" && len(s.Value) >= revisionLength {
			return "revision " + s.Value[:revisionLength]
		}
	}
	return "development"
}
