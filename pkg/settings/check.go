package settings

import (
	"net"
	"time"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
)

// Duration converts a setting in milliseconds.
func Duration(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }

func setDefault(v *int, def int) {
	if *v == 0 {
		*v = def
	}
}

func invalid(field, format string, args ...any) error {
	return errcode.New(errcode.SettingsInvalid, "setting "+field+": "+format, args...)
}

func required(field, v string) error {
	if v == "" {
		return invalid(field, "is required")
	}
	return nil
}

func hostPort(field, v string) error {
	if _, _, err := net.SplitHostPort(v); err != nil {
		return invalid(field, "must be host:port, got %q", v)
	}
	return nil
}

func positive[T int | float64](field string, v T) error {
	if v <= 0 {
		return invalid(field, "must be positive, got %v", v)
	}
	return nil
}

func nonNegative(field string, v int) error {
	if v < 0 {
		return invalid(field, "must not be negative, got %d", v)
	}
	return nil
}

func atLeast[T int | float64](field string, v, min T) error {
	if v < min {
		return invalid(field, "must be at least %v, got %v", min, v)
	}
	return nil
}

func atMost(field string, v, max int) error {
	if v > max {
		return invalid(field, "must be at most %d, got %d", max, v)
	}
	return nil
}

func fraction(field string, v float64) error {
	if v < 0 || v > 1 {
		return invalid(field, "must be between 0 and 1, got %v", v)
	}
	return nil
}

func oneOf(field, v string, allowed ...string) error {
	for _, a := range allowed {
		if v == a {
			return nil
		}
	}
	return invalid(field, "must be one of %v, got %q", allowed, v)
}

func between(field string, v, lo, hi int) error {
	if v < lo || v > hi {
		return invalid(field, "must be between %d and %d, got %d", lo, hi, v)
	}
	return nil
}

func firstErr(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
