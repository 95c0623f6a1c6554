// Package settings holds the configuration of a deployment: Deployment and what is below it.
//
// Operators write it as INI: one base file and an overlay for each site, whose keys replace those of the base. Section
// and key names are the names of the Go types and fields:
//
//	[Site]
//	Name = Kleinkloof
//
//	[FailureDomain "South"]
//	Region = Gauteng
//
//	[Endpoint "Model1"]
//	Address       = 127.0.0.1:7101
//	FailureDomain = South
//	Model         = Notes
//
// Each line is a section header, a key or a comment that starts with # or ;. A comment may follow a value after a
// blank. Values never span lines. Durations and byte sizes carry units, lists are separated by commas. docs/settings.md
// lists every key.
//
// Load checks everything and reports all problems at once, each with file, line, key and what is allowed. Nothing is
// half applied: with any problem there is no deployment.
//
// Encode and Decode are the canonical JSON, which the platform stores inside Accepted.
//
// The package reads files and decides nothing about requests; it takes no part in spreading a configuration.
//
// # Usage
//
//	d, err := settings.Load("base.ini", "site.ini")
//	var problems settings.Problems
//	if errors.As(err, &problems) {
//		for _, p := range problems {
//			fmt.Println(p)
//		}
//	}
//	content, err := settings.Encode(d)
package settings
