"""Release of engine memory held for instances that are gone."""
