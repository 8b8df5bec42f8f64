"""Types for starting trio tasks."""

import trio

TaskStatus = trio.TaskStatus
