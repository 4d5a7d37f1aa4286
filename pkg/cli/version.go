package cli

import "runtime/debug"

// Version returns the module version and the revision from which the binary was
// built, as recorded by the Go toolchain.
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
