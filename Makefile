.PHONY: build test lint format run tools

build: # the router's jar and its libraries, in router/target/
	sh -c "$$(sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/balancer.toml)"

test: # all tests and checks; uses no network except loopback
	mvn -B verify

lint: # all checks without the tests: compiler, format, Checkstyle, Error Prone
	mvn -B -DskipTests verify

format: # applies google-java-format to all sources
	mvn -B -q spotless:apply

run: build # one router, configured by the file that NODE_CONFIG names
	$$(sed -n 's/^run = "exec \(.*\)"$$/\1/p' deploy/balancer.toml)

tools: # the jar that bin/rushwood runs, with the testbed
	mvn -B -q -Dmaven.test.skip=true package
