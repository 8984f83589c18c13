//go:build !linux

package rig

import "syscall"

// childAttributes keeps the terminal's interrupt from the children: the driver
// stops them in order. A driver that is killed leaves them behind here.
func childAttributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Setpgid: true}
}
