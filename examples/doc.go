// Package examples holds example settings and configurations. Its tests check them with the router's own validation.
package examples
