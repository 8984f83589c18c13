package rig

import "syscall"

// childAttributes returns the attributes of child processes. The kernel kills them when
// the driver dies. Their own process group keeps the terminal's interrupt from them, so
// that the driver stops them itself.
func childAttributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
}
