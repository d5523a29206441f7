// Package object defines the configuration objects that operators create, their JSON encoding, and the validation
// of a whole set. Validation reports all findings together, each with its file, object and field path.
package object
