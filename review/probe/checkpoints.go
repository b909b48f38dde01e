package main

func playCheckpoints(_ *fleet, _ bool) (bool, error) { return false, nil }
