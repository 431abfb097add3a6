"""What the program is told: by the platform, and by the operator's file."""
