package rig

import "syscall"

// childAttributes ends the children when the driver is killed, and keeps the
// terminal's interrupt from them: the driver stops them in order.
func childAttributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
}
