//go:build race

package noder

const isRace = true
