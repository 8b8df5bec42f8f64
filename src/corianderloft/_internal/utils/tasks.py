"""Types of trio's task start-up."""

import trio

TaskStatus = trio.TaskStatus
