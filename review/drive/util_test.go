//go:build review

package drive

import (
	"errors"
	"time"

	"gooseberrytide.example/gooseberrytide/test/standin/platformstore"
)

type copyOfStore = platformstore.Copy

var errNothingServed = errors.New("too few requests were served")

func sleepUntil(t time.Time) { time.Sleep(time.Until(t)) }
