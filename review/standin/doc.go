// Package standin holds the review's stand-ins for the platform, the backend servers and
// the callers. They are test files with the build tag review; review/build.sh builds them
// into one program, which the scripts review/N/run.sh start.
package standin
