// Package evacuation holds which failure domains operators have evacuated, and which evacuations have ended. No backend
// server in an evacuated domain gets requests.
//
// Operators write and delete the keys in the store; package discovery follows them. The store is the only source, so that
// all routers that reach it agree.
package evacuation
