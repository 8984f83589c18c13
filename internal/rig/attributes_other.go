//go:build !linux

package rig

import "syscall"

// childAttributes returns the attributes of child processes. Their own process group
// keeps the terminal's interrupt from them, so that the driver stops them itself. Children
// of a driver that is killed keep running on this system.
func childAttributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Setpgid: true}
}
