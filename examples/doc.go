// Package examples holds example settings and configurations. Its tests check them as a router would.
package examples
