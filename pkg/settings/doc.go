// Package settings defines the configuration of a deployment, with its INI and JSON forms.
//
// Operators write the configuration as INI: one base file and an overlay for each site, whose keys replace those of the
// base. Section and key names are the names of the Go types and fields:
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
// Each line is a section header, a key with its value, a comment that starts with # or ;, or empty. A comment may also
// follow a value after a space. A value is always on one line. Durations have units, byte sizes may have units, and lists
// are separated by commas. docs/settings.md lists every key.
//
// Load checks the whole configuration and reports all problems at once, each with file, line, key and the allowed
// values. A configuration with any problem yields no deployment.
//
// Encode and Decode convert a deployment to and from its canonical JSON, which the platform stores inside Accepted.
//
// The package makes no decisions on requests and does not distribute configurations.
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
