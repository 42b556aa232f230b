"""What a controller's decisions were told and what they ordered, kept in columns and played again."""
