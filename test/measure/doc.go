// Command measure runs the shapes of both deployments under a seeded load, and the same load over two baselines of our
// own: routers that queue alone, and one router with one queue. Its last lines are one JSON object for each deployment.
package main
