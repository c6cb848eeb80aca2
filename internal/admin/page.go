package admin

import "html/template"

var page = template.Must(template.New("state").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Host}}</title></head><body>
<h1>Host {{.Host}} in {{.Zone}}</h1>
<p>Incarnation {{.Incarnation}}. {{if .Ready}}Ready.{{else}}Not ready: {{.NotReady}}.{{end}}
{{if .Stopping}}A planned stop is under way.{{end}}
Owns {{.OwnedFlows}} flows and {{.OwnedRequests}} requests.</p>
<h2>Configuration in force</h2>
<table><tr><th>Document</th><th>Revision</th><th>In force for, seconds</th></tr>
{{range .Documents}}<tr><td>{{.Name}}</td><td>{{.Revision}}</td><td>{{printf "%.1f" .InForceSeconds}}</td></tr>
{{end}}</table>
<h2>Hosts</h2>
<table><tr><th>Host</th><th>Availability zone</th><th>State</th><th>Incarnation</th></tr>
{{range .Members}}<tr><td>{{.Name}}</td><td>{{.Zone}}</td><td>{{.State}}</td><td>{{.Incarnation}}</td></tr>
{{end}}</table>
<p><a href="/metrics">metrics</a> <a href="/state">state as JSON</a></p>
</body></html>
`))
