.PHONY: build test lint format run tools

build: # the jar and its libraries in router/target/
	sh -c "$$(sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/balancer.toml)"

test: # every test and check; no network but loopback
	mvn -B verify

lint: # every check without the tests: compiler, format, Checkstyle, Error Prone
	mvn -B -DskipTests verify

format: # google-java-format over all sources
	mvn -B -q spotless:apply

run: build # one router, told by NODE_CONFIG
	$$(sed -n 's/^run = "exec \(.*\)"$$/\1/p' deploy/balancer.toml)

tools: # bin/rushwood with the testbed
	mvn -B -q -Dmaven.test.skip=true package
