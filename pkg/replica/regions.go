package replica

import "slices"

// SetAllowedRegions sets the regions that the requests of each class are confined to. Classes
// that are not listed may use all regions.
func (t *Table) SetAllowedRegions(regions map[string][]string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.allowedRegions = regions
}

// OwnZoneAllowed reports whether requests of a class may be handed off to other instances in
// this instance's zone.
func (t *Table) OwnZoneAllowed(className string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.zoneAllowed(className, t.opts.Zone)
}

// zoneAllowed reports whether requests of a class may go to leafs in a zone. A zone of unknown
// region is not allowed for a confined class. The caller holds mu.
func (t *Table) zoneAllowed(className, zone string) bool {
	allowed := t.allowedRegions[className]
	if len(allowed) == 0 {
		return true
	}
	region := t.opts.Regions[zone]
	return region != "" && slices.Contains(allowed, region)
}
