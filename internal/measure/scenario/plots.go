package scenario

import (
	"fmt"

	"mimosashore.example/mimosashore/internal/measure/report"
	"mimosashore.example/mimosashore/internal/measure/sim"
)

// NamedPlot is a plot with its file name.
type NamedPlot struct {
	File string
	Plot *report.Plot
}

var plottedPolicies = []namedPolicy{policies[0], policies[2], policies[3], projectPolicy}

// Plots runs the floods and bursts and plots their answers over time.
func Plots(seed uint64) []NamedPlot {
	var plots []NamedPlot
	for _, f := range []fleet{cubiertaVerde, cumann} {
		plots = append(plots,
			NamedPlot{"flood-" + f.urgent.name + ".svg", floodPlot(seed, f)},
			NamedPlot{"burst-" + f.urgent.name + ".svg", burstPlot(seed, f)},
		)
	}
	return plots
}

func floodPlot(seed uint64, f fleet) *report.Plot {
	const base, normalBulk, bulkFlood, urgentFlood, hostCount = 0.95, 0.5, 10, 2, 4
	p := &report.Plot{
		Title:  fmt.Sprintf("%s: %s floods from 20 s, a host dies at 25 s, %s floods from 40 s", f.name, f.bulk.name, f.urgent.name),
		XLabel: "seconds",
		YLabel: f.urgent.name + " answers a second",
	}
	fl := flood{base: base, bulkBase: normalBulk, bulk: bulkFlood, urgent: urgentFlood, kill: 0}
	for _, policy := range plottedPolicies {
		run := f.floodRun(seed, policy, hostCount, fl)
		p.Series = append(p.Series, answersBySecond(policy.name, run.Services[0], int(floodEnd.Seconds())))
	}
	return p
}

func burstPlot(seed uint64, f fleet) *report.Plot {
	p := &report.Plot{
		Title:  fmt.Sprintf("%s: 5,000 requests for %s in the second from 30 s", f.name, f.urgent.name),
		XLabel: "seconds",
		YLabel: "answers a second",
	}
	for _, policy := range plottedPolicies {
		run := burstRun(seed, f, policy, false, detectionTime)
		p.Series = append(p.Series, answersBySecond(policy.name, run.Services[0], int((burstAt+burstTimeout).Seconds())))
	}
	return p
}

func answersBySecond(name string, s *sim.Service, seconds int) report.Series {
	series := report.Series{Name: name}
	for i := range seconds {
		answered := 0
		if i < len(s.Counts.AnsweredBySecond) {
			answered = s.Counts.AnsweredBySecond[i]
		}
		series.Values = append(series.Values, float64(answered))
	}
	return series
}
