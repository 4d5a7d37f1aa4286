package cli

import "runtime/debug"

// Version is the module version and revision that the binary was built from, as
// the Go toolchain recorded them.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	version := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			version += " " + s.Value
		}
	}
	return version
}
