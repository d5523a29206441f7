// Command measure runs the shapes of both deployments under a seeded load, and the same load over two baselines:
// routers that queue independently of each other, and one router with one queue. The last lines of the output are one
// JSON object for each deployment.
package main
