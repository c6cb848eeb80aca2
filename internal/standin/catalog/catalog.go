// Package catalog reads accepted client accounts from the configuration store.
// Stand-ins get the ids and addresses of services and upstreams from it.
package catalog

import (
	"context"

	"github.com/rotisserie/eris"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/store"
)

// Account returns the accepted configuration of a client account. It fails if
// the store has no such account or the account is deleted.
func Account(ctx context.Context, s store.Store, name string) (*config.Account, error) {
	key := config.AccountPrefix + name
	entry, err := s.Get(ctx, key)
	if err != nil {
		return nil, eris.Wrapf(err, "account %q can't be read", name)
	}
	if entry.Modified == 0 {
		return nil, eris.Errorf("the store has no account %q", name)
	}
	doc, err := config.DecodeDocument(entry.Value)
	if err != nil {
		return nil, err
	}
	if doc.Deleted {
		return nil, eris.Errorf("account %q is deleted", name)
	}
	return doc.Account, nil
}

// Service returns the service of an account with the given name.
func Service(a *config.Account, name string) (*config.Service, error) {
	for i := range a.Services {
		if a.Services[i].Name == name {
			return &a.Services[i], nil
		}
	}
	return nil, eris.Errorf("account %q has no service %q", a.Name, name)
}
