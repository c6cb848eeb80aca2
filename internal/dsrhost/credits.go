package dsrhost

import "mimosashore.example/mimosashore/internal/dsrpeer"

// lend answers a request of another host for free slots.
func (d *coreLoop) lend(r dsrpeer.CreditRequest) {
	credits := d.core.Lend(d.host.elapsed(), r.Service, r.Wanted)
	for _, c := range credits {
		d.host.stats.creditsLent.Add(c.Count)
	}
	d.host.credits.Answer(r, credits)
}

// askForCredits asks other hosts for free slots as far as the core wants them.
func (d *coreLoop) askForCredits() {
	for _, a := range d.core.TakeAsks() {
		if d.host.credits != nil {
			d.host.credits.Ask(a)
		}
	}
}
