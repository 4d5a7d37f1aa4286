package replica

import "slices"

// SetAllowedRegions takes over to which regions the requests of each class are confined; a class that is not
// named may go anywhere.
func (t *Table) SetAllowedRegions(homes map[string][]string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.homes = homes
}

// OwnZoneAllowed reports whether requests of a class may be handed to others in this instance's zone.
func (t *Table) OwnZoneAllowed(className string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.atHome(className, t.opts.Zone)
}

// atHome reports whether requests of a class may go to leafs in a zone. A zone whose region is not
// known is no home. mu is held.
func (t *Table) atHome(className, zone string) bool {
	homes := t.homes[className]
	if len(homes) == 0 {
		return true
	}
	region := t.opts.Regions[zone]
	return region != "" && slices.Contains(homes, region)
}
