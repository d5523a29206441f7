// Package object defines the configuration objects that operators create, their JSON form, and the checks
// of a whole set. A check collects all findings with file, object and field path and reports them together.
package object
